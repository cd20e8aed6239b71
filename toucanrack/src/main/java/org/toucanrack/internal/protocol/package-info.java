/** Messages between VMs and the rules of HTTP messages. */
package org.toucanrack.internal.protocol;
