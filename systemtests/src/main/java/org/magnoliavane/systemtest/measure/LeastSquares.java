package org.magnoliavane.systemtest.measure;

import java.util.List;

/** Fits a linear function to observations by the method of least squares. */
final class LeastSquares {
    private static final double MIN_PIVOT = 1e-12;

    private LeastSquares() {}

    /**
     * Calculates the coefficients with the least sum of squared errors.
     *
     * @param inputs the inputs of each observation, all of the same length; an input of constant 1 gives an intercept
     * @param outputs the output of each observation
     * @return one coefficient for each input
     * @throws IllegalArgumentException when the observations do not determine the coefficients
     */
    static double[] fit(List<double[]> inputs, List<Double> outputs) {
        int size = inputs.get(0).length;
        double[][] rows = new double[size][size + 1];
        for (int i = 0; i < inputs.size(); i++) {
            double[] input = inputs.get(i);
            for (int r = 0; r < size; r++) {
                for (int c = 0; c < size; c++) {
                    rows[r][c] += input[r] * input[c];
                }
                rows[r][size] += input[r] * outputs.get(i);
            }
        }
        return solve(rows);
    }

    /** Solves the normal equations by Gauss-Jordan elimination with partial pivoting. */
    private static double[] solve(double[][] rows) {
        int size = rows.length;
        for (int c = 0; c < size; c++) {
            swapPivotRow(rows, c);
            for (int r = 0; r < size; r++) {
                if (r != c) {
                    subtractMultiple(rows[r], rows[c], rows[r][c] / rows[c][c]);
                }
            }
        }
        double[] result = new double[size];
        for (int i = 0; i < size; i++) {
            result[i] = rows[i][size] / rows[i][i];
        }
        return result;
    }

    private static void swapPivotRow(double[][] rows, int column) {
        int largest = column;
        for (int r = column + 1; r < rows.length; r++) {
            if (Math.abs(rows[r][column]) > Math.abs(rows[largest][column])) {
                largest = r;
            }
        }
        double[] row = rows[largest];
        rows[largest] = rows[column];
        rows[column] = row;
        if (Math.abs(row[column]) < MIN_PIVOT) {
            throw new IllegalArgumentException("the observations do not determine coefficient " + column
                    + "; add observations that differ in this input");
        }
    }

    private static void subtractMultiple(double[] row, double[] other, double factor) {
        for (int i = 0; i < row.length; i++) {
            row[i] -= factor * other[i];
        }
    }
}
