/**
 * The node's control plane: clients of the platform's store and cloud API, status messages between
 * nodes, and the duties that one node performs for all.
 */
@NullMarked
package org.carobdoor.node.gateway.control;

import org.jspecify.annotations.NullMarked;
