/**
 * The daemon {@code carobdoord}: settings, HTTP routes, and the runtime that drives the state
 * machines of the core module.
 */
@NullMarked
package org.carobdoor.node;

import org.jspecify.annotations.NullMarked;
