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
 * Authenticates callers and operators by bearer keys.
 *
 * <p>Keys are looked up by their SHA-256, so that the time of a look-up tells nothing about them.
 */
public final class Authenticator {
    private static final String BEARER = "Bearer ";
    private static final int UNAUTHORIZED = 401;

    private final Map<String, ClientAccount> accounts = new HashMap<>();
    private final Set<String> operators = new HashSet<>();

    /** Creates an authenticator of the given keys. */
    public Authenticator(List<AccountSettings> accounts, List<String> operatorKeys) {
        for (AccountSettings a : accounts) {
            a.keys().forEach(k -> this.accounts.put(digest(k), a.account()));
        }
        operatorKeys.forEach(k -> operators.add(digest(k)));
    }

    /**
     * Returns the client account of a caller.
     *
     * @throws ProblemException with status 401 if the key is missing or not known
     */
    ClientAccount caller(Context ctx) {
        ClientAccount account = accounts.get(digest(key(ctx)));
        if (account == null) {
            throw unauthorized("the key belongs to no client account");
        }
        return account;
    }

    /**
     * Checks that the request comes from an operator.
     *
     * @throws ProblemException with status 401 if the key is missing or not known
     */
    void checkOperator(Context ctx) {
        if (!operators.contains(digest(key(ctx)))) {
            throw unauthorized("the key is no operator key");
        }
    }

    private static String key(Context ctx) {
        String header = ctx.header("Authorization").valueOrNull();
        if (header == null || !header.startsWith(BEARER)) {
            throw unauthorized("the header Authorization must be \"Bearer <key>\"");
        }
        return header.substring(BEARER.length()).strip();
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
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
