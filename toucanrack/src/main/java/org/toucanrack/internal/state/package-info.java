/** Control state as traffic threads see it: one immutable snapshot. */
package org.toucanrack.internal.state;
