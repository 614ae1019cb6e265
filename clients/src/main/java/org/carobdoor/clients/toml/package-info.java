/** Strict reading of TOML: every key is checked, and every problem names file, line and key. */
@NullMarked
package org.carobdoor.clients.toml;

import org.jspecify.annotations.NullMarked;
