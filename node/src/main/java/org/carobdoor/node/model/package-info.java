/** Requests to language models: parsing, execution over changing endpoints, and answer formats. */
@NullMarked
package org.carobdoor.node.model;

import org.jspecify.annotations.NullMarked;
