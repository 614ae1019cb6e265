/**
 * The daemon on the users' platform: forwards callers' requests to the endpoints that the
 * platform's store lists.
 *
 * <p>The entry point is {@link org.carobdoor.node.gateway.Gateway}. A request passes through {@code
 * front} (the caller's connection), {@code forward} (routing and retries) and {@code endpoint} (the
 * endpoint's connection); {@code control} synchronizes the node with the store and the other nodes,
 * and runs the duties. Everything runs on one event loop, since the VMs have one core.
 */
@NullMarked
package org.carobdoor.node.gateway;

import org.jspecify.annotations.NullMarked;
