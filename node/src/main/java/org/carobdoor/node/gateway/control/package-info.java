/** Clients of the platform's store and cloud API, messages between nodes, and the duties. */
@NullMarked
package org.carobdoor.node.gateway.control;

import org.jspecify.annotations.NullMarked;
