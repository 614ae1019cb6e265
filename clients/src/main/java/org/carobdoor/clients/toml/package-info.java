/** Strict TOML parsing that reports file, line and key of each missing, invalid or unknown key. */
@NullMarked
package org.carobdoor.clients.toml;

import org.jspecify.annotations.NullMarked;
