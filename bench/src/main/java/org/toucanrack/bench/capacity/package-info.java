/** Benchmarks of how memory, CPU time and message sizes scale with the size of a deployment. */
package org.toucanrack.bench.capacity;
