/** Measured slopes of memory, CPU time and message sizes against the size of a deployment. */
package org.toucanrack.bench.capacity;
