/**
 * The facts that an entry VM bases its steering on, and the port to the platform they come from.
 *
 * <p>{@link SteeringRules} is the operators' configuration, {@link AnnouncedServer} the
 * announcement of a backend server, and {@link RolloutOrder} the order to move a service to a
 * version. {@link RowCodec} decodes them from the rows of the platform's store.
 */
package org.toucanrack.steering;
