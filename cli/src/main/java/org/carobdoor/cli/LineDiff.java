package org.carobdoor.cli;

import java.util.List;

/** Computes a line diff of two texts from their longest common subsequence. */
final class LineDiff {
    private LineDiff() {}

    /** Returns all lines with a prefix: a space for common, - for removed and + for added lines. */
    static String of(String before, String after) {
        List<String> a = before.lines().toList();
        List<String> b = after.lines().toList();
        int[][] common = commonLengths(a, b);
        var text = new StringBuilder();
        int i = 0;
        int j = 0;
        while (i < a.size() || j < b.size()) {
            if (i < a.size() && j < b.size() && a.get(i).equals(b.get(j))) {
                text.append(' ').append(a.get(i++)).append('\n');
                j++;
            } else if (j == b.size() || (i < a.size() && common[i + 1][j] >= common[i][j + 1])) {
                text.append('-').append(a.get(i++)).append('\n');
            } else {
                text.append('+').append(b.get(j++)).append('\n');
            }
        }
        return text.toString();
    }

    private static int[][] commonLengths(List<String> a, List<String> b) {
        int[][] common = new int[a.size() + 1][b.size() + 1];
        for (int i = a.size() - 1; i >= 0; i--) {
            for (int j = b.size() - 1; j >= 0; j--) {
                common[i][j] =
                        a.get(i).equals(b.get(j))
                                ? common[i + 1][j + 1] + 1
                                : Math.max(common[i + 1][j], common[i][j + 1]);
            }
        }
        return common;
    }
}
