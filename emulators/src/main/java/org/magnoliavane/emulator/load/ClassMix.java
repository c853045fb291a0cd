package org.magnoliavane.emulator.load;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import com.beust.jcommander.ParameterException;

/** Chooses classes by weight. */
record ClassMix(List<Share> shares) {

    static ClassMix parse(List<String> texts) {
        List<Share> shares = new ArrayList<>();
        for (String text : texts) {
            String[] parts = text.split("=");
            if (parts.length != 2 || !parts[1].matches("\\d+(\\.\\d+)?")) {
                throw new ParameterException("--classes must be NAME=WEIGHT, got " + text);
            }
            shares.add(new Share(parts[0], Double.parseDouble(parts[1])));
        }
        return new ClassMix(List.copyOf(shares));
    }

    /** Chooses a class; empty text when there are none. */
    String choose(SplittableRandom random) {
        double left =
                random.nextDouble() * shares.stream().mapToDouble(Share::weight).sum();
        for (Share share : shares) {
            left -= share.weight;
            if (left < 0) {
                return share.name;
            }
        }
        return shares.isEmpty() ? "" : shares.get(shares.size() - 1).name;
    }

    /** Class and its weight. */
    record Share(String name, double weight) {}
}
