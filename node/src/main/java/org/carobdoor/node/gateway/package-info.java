/**
 * The daemon on the users' platform: forwards callers' requests to the endpoints that the
 * platform's store lists.
 *
 * <p>Start reading at {@link org.carobdoor.node.gateway.Gateway}. The way of a request is {@code
 * front} (the caller's connection), {@code forward} (decisions and retries) and {@code endpoint}
 * (the endpoint's connection); {@code control} keeps the node in step with the store, the other
 * nodes and the duties. Everything runs on one event loop, since the VMs have one core.
 */
@NullMarked
package org.carobdoor.node.gateway;

import org.jspecify.annotations.NullMarked;
