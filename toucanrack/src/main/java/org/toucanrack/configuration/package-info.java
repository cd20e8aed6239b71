/** The declared model: immutable records without I/O. */
package org.toucanrack.configuration;
