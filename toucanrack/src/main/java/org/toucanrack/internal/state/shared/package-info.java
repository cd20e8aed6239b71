/** Local replica of shared rows of the platform's store. */
package org.toucanrack.internal.state.shared;
