/** Structured, rate-limited logging of decisions. */
@NullMarked
package org.carobdoor.node.gateway.log;

import org.jspecify.annotations.NullMarked;
