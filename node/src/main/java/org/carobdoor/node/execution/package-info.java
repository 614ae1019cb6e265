/** Executes accepted requests at endpoints for {@code org.carobdoor.node.work}. */
@NullMarked
package org.carobdoor.node.execution;

import org.jspecify.annotations.NullMarked;
