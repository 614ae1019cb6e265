/** Requests to language models: parsing, validation and response formats. */
@NullMarked
package org.carobdoor.node.model;

import org.jspecify.annotations.NullMarked;
