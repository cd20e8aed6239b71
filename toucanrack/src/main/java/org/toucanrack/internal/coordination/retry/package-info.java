/** Retry budgets and the rules for repeats. No I/O. */
package org.toucanrack.internal.coordination.retry;
