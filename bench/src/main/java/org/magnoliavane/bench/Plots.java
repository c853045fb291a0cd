package org.magnoliavane.bench;

import java.awt.BasicStroke;
import java.awt.Color;
import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;

import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.plot.XYPlot;
import org.jfree.chart.renderer.xy.XYLineAndShapeRenderer;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/**
 * Plots goodput and wasted prefill against the offered load. Not thread-safe.
 */
final class Plots {
    private static final int WIDTH_PIXELS = 900;
    private static final int HEIGHT_PIXELS = 560;
    private static final float LINE_WIDTH = 2f;

    private final XYSeriesCollection goodput = new XYSeriesCollection();
    private final XYSeriesCollection wastedPrefill = new XYSeriesCollection();

    /** Adds a point to the goodput plot, in good answers per second. */
    void addGoodput(String name, double load, double perSecond) {
        getOrCreateSeries(goodput, name).add(load, perSecond);
    }

    /** Adds a point to the plot of wasted prefill, in percent of the prefill work. */
    void addWastedPrefill(String name, double load, double percent) {
        getOrCreateSeries(wastedPrefill, name).add(load, percent);
    }

    /** Writes both plots of a deployment as PNG files into a directory, which is created if necessary. */
    void write(File directory, String deployment) {
        write(directory, deployment + "-goodput", "Goodput, " + deployment, "good answers per second", goodput);
        write(directory, deployment + "-wasted", "Wasted prefill, " + deployment, "% of prefill work", wastedPrefill);
    }

    private static XYSeries getOrCreateSeries(XYSeriesCollection all, String name) {
        int index = all.getSeriesIndex(name);
        if (index < 0) {
            all.addSeries(new XYSeries(name));
            index = all.getSeriesCount() - 1;
        }
        return all.getSeries(index);
    }

    private static void write(File directory, String file, String title, String axis, XYSeriesCollection data) {
        JFreeChart chart = ChartFactory.createXYLineChart(title, "offered work / capacity", axis, data);
        XYPlot plot = chart.getXYPlot();
        plot.setBackgroundPaint(Color.WHITE);
        plot.setRangeGridlinePaint(Color.LIGHT_GRAY);
        XYLineAndShapeRenderer renderer = new XYLineAndShapeRenderer(true, true);
        for (int i = 0; i < data.getSeriesCount(); i++) {
            renderer.setSeriesStroke(i, new BasicStroke(LINE_WIDTH));
        }
        plot.setRenderer(renderer);
        try {
            directory.mkdirs();
            ChartUtils.saveChartAsPNG(new File(directory, file + ".png"), chart, WIDTH_PIXELS, HEIGHT_PIXELS);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
