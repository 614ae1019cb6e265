/**
 * Work that one node does for all: who holds it, and the usage reports, of which each window of
 * time gets exactly one.
 */
@NullMarked
package org.carobdoor.internal.duty;

import org.jspecify.annotations.NullMarked;
