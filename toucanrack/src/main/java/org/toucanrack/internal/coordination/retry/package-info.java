/** Retry budgets and rules, hedging delays, hop deadlines and cancellation. No I/O. */
package org.toucanrack.internal.coordination.retry;
