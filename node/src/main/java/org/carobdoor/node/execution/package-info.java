/** Executes accepted requests at endpoints on behalf of {@code org.carobdoor.node.work}. */
@NullMarked
package org.carobdoor.node.execution;

import org.jspecify.annotations.NullMarked;
