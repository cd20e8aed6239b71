/** Polls the health and load endpoints of backend servers. */
package org.toucanrack.internal.transport.health;
