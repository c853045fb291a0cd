package org.magnoliavane.cli;

import com.beust.jcommander.IStringConverter;
import com.beust.jcommander.ParameterException;
import org.magnoliavane.node.settings.HttpEndpoint;

/** Converts URLs on the command line to endpoints. */
public final class EndpointConverter implements IStringConverter<HttpEndpoint> {
    @Override
    public HttpEndpoint convert(String text) {
        return HttpEndpoint.parse(text)
                .orElseThrow(() -> new ParameterException("\"" + text + "\" is not " + HttpEndpoint.FORMAT));
    }
}
