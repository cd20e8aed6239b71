/** The rows of the platform's store that this VM holds. */
package org.toucanrack.internal.state.shared;
