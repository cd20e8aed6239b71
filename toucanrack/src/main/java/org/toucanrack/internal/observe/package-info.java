/** Decision log of a VM and the analysis of its lines. */
package org.toucanrack.internal.observe;
