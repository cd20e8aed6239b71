/** What operators see of a running VM: the decision log and metrics. */
package org.toucanrack.internal.observe;
