package org.carobdoor.node.gateway.front;

import java.util.SplittableRandom;

/** Generates the bytes of connections with several requests, sound or with mutations. */
final class RequestGenerator {
    private static final String[] METHODS = {"GET", "POST", "PUT", "DELETE", "OPTIONS"};
    private static final String[] TARGETS = {"/a", "/b/c?d=e", "/%20", "*", "http://h/a"};
    private static final String[] FIELDS = {
        "Accept: */*", "X-Empty:", "X-A:b", "X-Tab: \tc\t", "X-Latin: \u00e9", "Connection: x-a"
    };
    private static final String[] ODD_FRAMINGS = {
        "Transfer-Encoding: identity",
        "Transfer-Encoding: gzip",
        "Transfer-Encoding: gzip, chunked",
        "Transfer-Encoding: chunked,",
        "Transfer-Encoding: , chunked",
        "Transfer-Encoding: \"chunked\"",
        "Transfer-Encoding: chunked;q=1",
        "Transfer-Encoding : chunked",
        " Transfer-Encoding: chunked",
        "Transfer-Encoding:\r\n chunked",
        "X-Fold: a\r\n\tTransfer-Encoding: chunked",
        "X-Bare: a\rTransfer-Encoding: chunked",
        "X-Bare: a\nTransfer-Encoding: chunked",
        "Transfer-Encoding\0: chunked",
        "Content-Length: 0x4",
        "Content-Length: +4",
        "Content-Length: 4,4",
        "Content-Length: 4 ",
        "Content-Length:4\r\nContent-Length: 4",
        "Content-Length : 4",
        "Content-Length: 04",
        "Content-Length: 99999999999999999999",
        "Content-Length: \u0664",
        "Content_Length: 4"
    };
    private static final String[] ODD_CHUNK_SIZES = {
        "0x4", "+4", "-4", "4 4", " 4", "4;a=\"\r\n\"", "04", "4\t", "", "g", "4\n", "fffffffff"
    };
    private static final String MUTATION_BYTES = "\r\n\0\t\u000b :;,0aA4\u007f\u00ff";

    private final SplittableRandom random;

    RequestGenerator(SplittableRandom random) {
        this.random = random;
    }

    /** Returns a connection of up to four requests. */
    String connection(boolean mutated) {
        StringBuilder text = new StringBuilder();
        int count = 1 + random.nextInt(4);
        int odd = mutated ? random.nextInt(count) : -1;
        for (int i = 0; i < count; i++) {
            appendRequest(text, i == odd && random.nextInt(3) > 0);
        }
        int mutations = mutated ? random.nextInt(3) : 0;
        for (int i = 0; i < mutations; i++) {
            mutate(text);
        }
        return text.toString();
    }

    private void appendRequest(StringBuilder text, boolean odd) {
        text.append(pick(METHODS)).append(' ').append(pick(TARGETS)).append(" HTTP/1.1\r\n");
        text.append("Host: h\r\n");
        for (int i = random.nextInt(3); i > 0; i--) {
            text.append(pick(FIELDS)).append("\r\n");
        }
        boolean oddHead = odd && random.nextBoolean();
        if (oddHead) {
            text.append(pick(ODD_FRAMINGS)).append("\r\n");
        }
        String body = body();
        switch (random.nextInt(3)) {
            case 0 -> text.append("\r\n").append(oddHead ? body : "");
            case 1 ->
                    text.append("Content-Length: ")
                            .append(body.length())
                            .append("\r\n\r\n")
                            .append(body);
            default -> {
                text.append("Transfer-Encoding: chunked\r\n\r\n");
                appendChunks(text, body, odd && !oddHead);
            }
        }
    }

    private void appendChunks(StringBuilder text, String body, boolean odd) {
        int start = 0;
        while (start < body.length()) {
            int size = 1 + random.nextInt(body.length() - start);
            String line = odd && random.nextBoolean() ? pick(ODD_CHUNK_SIZES) : hex(size);
            text.append(line).append("\r\n").append(body, start, start + size).append("\r\n");
            start += size;
        }
        text.append("0\r\n").append(random.nextInt(4) == 0 ? "X-Trailer: t\r\n" : "");
        text.append("\r\n");
    }

    private String hex(int size) {
        String digits = Integer.toHexString(size);
        return switch (random.nextInt(4)) {
            case 0 -> digits.toUpperCase(java.util.Locale.ROOT);
            case 1 -> digits + ";name=value";
            default -> digits;
        };
    }

    /** Returns a body, often the text of a request. */
    private String body() {
        return switch (random.nextInt(4)) {
            case 0 -> "";
            case 1 -> "abcd";
            case 2 -> "4\r\nabcd\r\n0\r\n\r\n";
            default -> "GET /inner HTTP/1.1\r\nHost: h\r\n\r\n";
        };
    }

    private void mutate(StringBuilder text) {
        int at = random.nextInt(text.length());
        char c = MUTATION_BYTES.charAt(random.nextInt(MUTATION_BYTES.length()));
        switch (random.nextInt(3)) {
            case 0 -> text.deleteCharAt(at);
            case 1 -> text.insert(at, c);
            default -> text.setCharAt(at, c);
        }
    }

    private String pick(String[] values) {
        return values[random.nextInt(values.length)];
    }
}
