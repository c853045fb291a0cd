package org.magnoliavane.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/** Formats rows as a table with aligned columns. */
final class TextTable {
    private final List<List<String>> rows = new ArrayList<>();

    TextTable(String... titles) {
        rows.add(List.of(titles));
    }

    void addRow(Object... cells) {
        // Control characters in texts of operators or nodes must not reach the terminal.
        rows.add(Stream.of(cells)
                .map(c -> String.valueOf(c).replaceAll("\\p{Cntrl}", " "))
                .toList());
    }

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder();
        for (List<String> row : rows) {
            StringBuilder line = new StringBuilder();
            for (int i = 0; i < row.size(); i++) {
                line.append(row.get(i))
                        .append(" ".repeat(getWidth(i) - row.get(i).length() + 2));
            }
            text.append(line.toString().stripTrailing()).append('\n');
        }
        return text.toString();
    }

    private int getWidth(int column) {
        return rows.stream().mapToInt(r -> r.get(column).length()).max().orElse(0);
    }
}
