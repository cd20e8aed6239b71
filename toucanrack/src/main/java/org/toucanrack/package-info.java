/** The public API of toucanrack: the main class, verdicts and errors. */
package org.toucanrack;
