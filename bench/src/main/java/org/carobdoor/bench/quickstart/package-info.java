/** An end-to-end walkthrough of the system on one machine. */
@NullMarked
package org.carobdoor.bench.quickstart;

import org.jspecify.annotations.NullMarked;
