/** The subcommands of the command line, their settings and their output. */
package org.toucanrack.internal.command;
