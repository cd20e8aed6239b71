/**
 * What an entry VM steers by, and the port through which a platform tells it.
 *
 * <p>{@link SteeringRules} is the operators' configuration, {@link AnnouncedServer} a backend
 * server that announced itself, {@link RolloutOrder} the order to move a service to a version.
 * {@link RowCodec} turns rows of the platform's store into these types.
 */
package org.toucanrack.steering;
