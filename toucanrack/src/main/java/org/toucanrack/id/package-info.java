/** Value types for ids. */
package org.toucanrack.id;
