/** Calls to plain services, with retries and at-most-once execution. */
@NullMarked
package org.carobdoor.node.service;

import org.jspecify.annotations.NullMarked;
