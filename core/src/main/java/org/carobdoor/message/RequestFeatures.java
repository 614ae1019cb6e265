package org.carobdoor.message;

import java.util.ArrayList;
import java.util.List;

/**
 * The features of one request by which it can be recognized as the cause of a crash.
 *
 * @param shared the features that other requests have too, such as the leading parts of a prompt
 * @param own the feature of this request alone or of its session; a retry by the caller has the
 *     same
 */
public record RequestFeatures(List<RequestFeature> shared, RequestFeature own) {

    /** Copies the list. */
    public RequestFeatures {
        shared = List.copyOf(shared);
    }

    /** Returns the shared features and the own one. */
    public List<RequestFeature> all() {
        List<RequestFeature> all = new ArrayList<>(shared);
        all.add(own);
        return all;
    }
}
