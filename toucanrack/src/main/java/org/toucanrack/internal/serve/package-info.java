/** Assembles and runs the components of an entry VM. */
package org.toucanrack.internal.serve;
