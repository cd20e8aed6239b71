package org.toucanrack.standin.platform;

/**
 * Settings of the platform stand-in.
 *
 * @param writesPerSecond limit of commits and object writes; 0 for none
 * @param readsPerSecond limit of reads; 0 for none
 * @param vmLagMillis how late readers see changes of the VM list
 * @param measurementsLagMillis how late readers see measurements
 */
public record PlatformSettings(
    double writesPerSecond, double readsPerSecond, long vmLagMillis, long measurementsLagMillis) {}
