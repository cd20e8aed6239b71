/** The command line. */
package org.toucanrack.internal.command;
