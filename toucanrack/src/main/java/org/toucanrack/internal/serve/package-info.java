/** Wires the parts of an entry VM together. */
package org.toucanrack.internal.serve;
