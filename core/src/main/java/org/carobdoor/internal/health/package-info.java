/**
 * Detects endpoints that fail requests while their health checks pass, from the outcomes of regular
 * requests.
 */
@NullMarked
package org.carobdoor.internal.health;

import org.jspecify.annotations.NullMarked;
