package org.magnoliavane.cli;

import java.util.List;

/** Computes the difference of two texts by lines. */
final class TextDiff {
    private static final long MAX_CELLS = 4_000_000;

    private TextDiff() {}

    /** Returns the lines that differ, prefixed with {@code -} or {@code +}; empty if the texts are equal. */
    static String diff(String before, String after) {
        List<String> left = before.isEmpty() ? List.of() : before.lines().toList();
        List<String> right = after.isEmpty() ? List.of() : after.lines().toList();
        int prefix = 0;
        while (prefix < left.size() && prefix < right.size() && left.get(prefix).equals(right.get(prefix))) {
            prefix++;
        }
        int suffix = 0;
        while (suffix < Math.min(left.size(), right.size()) - prefix
                && left.get(left.size() - 1 - suffix).equals(right.get(right.size() - 1 - suffix))) {
            suffix++;
        }
        return diffMiddle(left.subList(prefix, left.size() - suffix), right.subList(prefix, right.size() - suffix));
    }

    private static String diffMiddle(List<String> left, List<String> right) {
        StringBuilder lines = new StringBuilder();
        int i = 0;
        int j = 0;
        // For very long changes the table would need too much memory; they are printed without their common lines.
        if ((left.size() + 1L) * (right.size() + 1L) <= MAX_CELLS) {
            int[][] common = countCommonLines(left, right);
            while (i < left.size() && j < right.size()) {
                if (left.get(i).equals(right.get(j))) {
                    i++;
                    j++;
                } else if (common[i + 1][j] >= common[i][j + 1]) {
                    lines.append("- ").append(left.get(i++)).append('\n');
                } else {
                    lines.append("+ ").append(right.get(j++)).append('\n');
                }
            }
        }
        left.subList(i, left.size())
                .forEach(line -> lines.append("- ").append(line).append('\n'));
        right.subList(j, right.size())
                .forEach(line -> lines.append("+ ").append(line).append('\n'));
        return lines.toString();
    }

    /** Computes the length of the longest common subsequence of the remaining lines, for each pair of positions. */
    private static int[][] countCommonLines(List<String> left, List<String> right) {
        int[][] common = new int[left.size() + 1][right.size() + 1];
        for (int i = left.size() - 1; i >= 0; i--) {
            for (int j = right.size() - 1; j >= 0; j--) {
                common[i][j] = left.get(i).equals(right.get(j))
                        ? common[i + 1][j + 1] + 1
                        : Math.max(common[i + 1][j], common[i][j + 1]);
            }
        }
        return common;
    }
}
