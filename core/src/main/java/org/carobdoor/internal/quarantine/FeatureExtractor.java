package org.carobdoor.internal.quarantine;

import java.util.List;
import java.util.Optional;
import org.carobdoor.internal.Rendezvous;
import org.carobdoor.internal.request.Prompt;
import org.carobdoor.internal.request.PromptPart;
import org.carobdoor.message.RequestFeature;
import org.carobdoor.message.RequestFeature.Kind;
import org.carobdoor.message.RequestFeatures;

/** Determines the features of requests. */
public final class FeatureExtractor {
    private FeatureExtractor() {}

    /** Returns the features of a prompt; empty if it declares no parts. */
    public static Optional<RequestFeatures> ofPrompt(Prompt prompt) {
        List<PromptPart> parts = prompt.parts();
        if (parts.isEmpty()) {
            return Optional.empty();
        }
        List<RequestFeature> shared =
                parts.subList(0, prompt.sharedParts()).stream()
                        .map(FeatureExtractor::feature)
                        .distinct()
                        .toList();
        return Optional.of(new RequestFeatures(shared, feature(parts.getLast())));
    }

    /**
     * Returns the features of a plain request.
     *
     * @param account the account of the caller; its content differs from that of other accounts
     * @param uri the path with the query
     * @param bodyHash a hash of the body
     */
    public static RequestFeatures ofPlainRequest(
            String account, String method, String path, String uri, long bodyHash) {
        RequestFeature resource =
                new RequestFeature(Kind.RESOURCE, Rendezvous.hash(method + ' ' + path));
        long content =
                Rendezvous.weight(bodyHash, Rendezvous.hash(account + ' ' + method + ' ' + uri));
        return new RequestFeatures(List.of(resource), new RequestFeature(Kind.CONTENT, content));
    }

    private static RequestFeature feature(PromptPart part) {
        return new RequestFeature(Kind.PROMPT_PART, part.id());
    }
}
