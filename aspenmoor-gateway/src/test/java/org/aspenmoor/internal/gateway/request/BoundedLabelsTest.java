package org.aspenmoor.internal.gateway.request;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

public class BoundedLabelsTest {
    // Thousands of organisations would each add a time series to the metrics of every entry.
    @Test
    public void should_use_a_common_value_when_there_are_too_many_names() {
        BoundedLabels labels = new BoundedLabels(2);

        assertEquals(labels.valueFor("house"), "house");
        assertEquals(labels.valueFor("hall"), "hall");
        assertEquals(labels.valueFor("third"), "other");
        assertEquals(labels.valueFor("house"), "house");
    }
}
