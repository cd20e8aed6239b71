/** The model of the declared configuration: immutable records without I/O. */
package org.toucanrack.configuration;
