package org.carobdoor.node.http;

import io.jooby.Context;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.carobdoor.ClientAccount;
import org.carobdoor.node.settings.AccountSettings;
import org.jspecify.annotations.Nullable;

/**
 * Authenticates callers and operators by bearer tokens, which the settings call keys.
 *
 * <p>Keys are looked up by their SHA-256 digest, so that the duration of a lookup reveals nothing
 * about a key (timing attacks).
 */
public final class Authenticator {
    private static final String BEARER_PREFIX = "Bearer ";
    private static final int UNAUTHORIZED = 401;

    private final Map<String, ClientAccount> accountsByKeyDigest = new HashMap<>();
    private final Set<String> operatorKeyDigests = new HashSet<>();

    /** Creates an authenticator that accepts the given keys. */
    public Authenticator(List<AccountSettings> accounts, List<String> operatorKeys) {
        for (AccountSettings settings : accounts) {
            settings.keys()
                    .forEach(k -> this.accountsByKeyDigest.put(digest(k), settings.account()));
        }
        operatorKeys.forEach(k -> operatorKeyDigests.add(digest(k)));
    }

    /**
     * Authenticates a caller and returns its client account.
     *
     * @throws ProblemException with status 401 if the key is missing or unknown
     */
    ClientAccount authenticateCaller(Context ctx) {
        ClientAccount account = accountsByKeyDigest.get(digest(bearerKey(ctx)));
        if (account == null) {
            throw unauthorized("the key is not assigned to any client account");
        }
        return account;
    }

    /**
     * Checks that the request carries an operator key.
     *
     * @throws ProblemException with status 401 if the key is missing or unknown
     */
    void authenticateOperator(Context ctx) {
        if (!operatorKeyDigests.contains(digest(bearerKey(ctx)))) {
            throw unauthorized("the key is not an operator key");
        }
    }

    private static String bearerKey(Context ctx) {
        String header = ctx.header("Authorization").valueOrNull();
        if (header == null || !header.startsWith(BEARER_PREFIX)) {
            throw unauthorized("header Authorization must have the form \"Bearer <key>\"");
        }
        return header.substring(BEARER_PREFIX.length()).strip();
    }

    private static ProblemException unauthorized(String detail) {
        return new ProblemException(Problem.notRun(UNAUTHORIZED, "unauthorized", detail));
    }

    private static String digest(@Nullable String key) {
        try {
            MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
            byte[] bytes = (key == null ? "" : key).getBytes(StandardCharsets.UTF_8);
            return HexFormat.of().formatHex(sha256.digest(bytes));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available", e);
        }
    }
}
