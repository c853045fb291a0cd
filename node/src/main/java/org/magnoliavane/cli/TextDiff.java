package org.magnoliavane.cli;

import java.util.List;

/** Compares two texts line by line. */
final class TextDiff {
    private static final long MAX_CELLS = 4_000_000;

    private TextDiff() {}

    /** Returns the lines that differ, with {@code -} or {@code +} in front; empty when the texts are equal. */
    static String diff(String before, String after) {
        List<String> left = before.isEmpty() ? List.of() : before.lines().toList();
        List<String> right = after.isEmpty() ? List.of() : after.lines().toList();
        int start = 0;
        while (start < left.size() && start < right.size() && left.get(start).equals(right.get(start))) {
            start++;
        }
        int end = 0;
        while (end < Math.min(left.size(), right.size()) - start
                && left.get(left.size() - 1 - end).equals(right.get(right.size() - 1 - end))) {
            end++;
        }
        return diffMiddle(left.subList(start, left.size() - end), right.subList(start, right.size() - end));
    }

    private static String diffMiddle(List<String> left, List<String> right) {
        StringBuilder lines = new StringBuilder();
        int i = 0;
        int j = 0;
        // A table for very long changes would need too much memory; these are shown without their common lines.
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

    /** Counts the common lines of the rest of both texts from each pair of positions. */
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
