package org.magnoliavane.emulator.load;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import com.beust.jcommander.ParameterException;

/** Chooses the service classes of chats at random by weight. */
record ClassMix(List<WeightedClass> shares) {

    static ClassMix parse(List<String> definitions) {
        List<WeightedClass> shares = new ArrayList<>();
        for (String definition : definitions) {
            String[] parts = definition.split("=");
            if (parts.length != 2 || !parts[1].matches("\\d+(\\.\\d+)?")) {
                throw new ParameterException("--classes must be NAME=WEIGHT, got " + definition);
            }
            shares.add(new WeightedClass(parts[0], Double.parseDouble(parts[1])));
        }
        return new ClassMix(List.copyOf(shares));
    }

    /** Chooses a class. Returns the empty string when the mix has no classes. */
    String choose(SplittableRandom random) {
        double remaining = random.nextDouble()
                * shares.stream().mapToDouble(WeightedClass::weight).sum();
        for (WeightedClass share : shares) {
            remaining -= share.weight;
            if (remaining < 0) {
                return share.name;
            }
        }
        return shares.isEmpty() ? "" : shares.get(shares.size() - 1).name;
    }

    /** Class with its weight, relative to the sum of all weights. */
    record WeightedClass(String name, double weight) {}
}
