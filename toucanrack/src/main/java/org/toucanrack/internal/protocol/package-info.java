/** Validation rules for HTTP messages, and the messages between VMs. */
package org.toucanrack.internal.protocol;
