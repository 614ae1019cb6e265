package org.carobdoor.node.gateway.net;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoRegistration;

/** Tells a {@link LoopMonitor} when another handler polls. */
final class MonitoredIoHandler implements IoHandler {
    private final IoHandler handler;
    private final LoopMonitor monitor;

    MonitoredIoHandler(IoHandler handler, LoopMonitor monitor) {
        this.handler = handler;
        this.monitor = monitor;
    }

    @Override
    public void initialize() {
        handler.initialize();
    }

    @Override
    public int run(IoHandlerContext context) {
        monitor.pollBegins();
        try {
            return handler.run(context);
        } finally {
            monitor.pollEnded();
        }
    }

    @Override
    public void prepareToDestroy() {
        handler.prepareToDestroy();
    }

    @Override
    public void destroy() {
        handler.destroy();
    }

    @Override
    public IoRegistration register(IoHandle handle) throws Exception {
        return handler.register(handle);
    }

    @Override
    public void wakeup() {
        handler.wakeup();
    }

    @Override
    public boolean isCompatible(Class<? extends IoHandle> handleType) {
        return handler.isCompatible(handleType);
    }
}
