/** Load, experiment and measurement tools. */
@NullMarked
package org.carobdoor.bench;

import org.jspecify.annotations.NullMarked;
