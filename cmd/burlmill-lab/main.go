// Command burlmill-lab runs the programs of the lab: a test store, a test back end, a demo on a
// cluster on this machine, a comparison of the path through burlmill with the direct path to a back
// end, or a simulation of placement.
package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/burlmill/burlmill/catalog"
	"github.com/burlmill/burlmill/fault"
	"github.com/burlmill/burlmill/internal/lab/backend"
	"github.com/burlmill/burlmill/internal/lab/demo"
	"github.com/burlmill/burlmill/internal/lab/measure"
	"github.com/burlmill/burlmill/internal/lab/placementlab"
	"github.com/burlmill/burlmill/internal/lab/store"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	application := kingpin.New("burlmill-lab", "Stand-ins and experiments for burlmill.")
	commands := map[string]func(context.Context) error{}
	addDemo(application, commands)
	addMeasure(application, commands)
	addPlacement(application, commands)
	addStore(application, commands)
	addBackend(application, commands)
	selected := kingpin.MustParse(application.Parse(os.Args[1:]))
	if err := commands[selected](ctx); err != nil {
		fmt.Fprintf(os.Stderr, "burlmill-lab: %v\n", err)
		stop()
		os.Exit(fault.KindOf(err).Codes().ExitCode)
	}
}

func addDemo(application *kingpin.Application, commands map[string]func(context.Context) error) {
	options := demo.DefaultOptions
	command := application.Command("demo", "Run two services through real processes, kill a balancer, print what callers saw.")
	command.Flag("duration", "Duration of the load.").Default(options.Duration.String()).DurationVar(&options.Duration)
	command.Flag("callers", "HTTP/3 clients.").Default(fmt.Sprint(options.Callers)).IntVar(&options.Callers)
	command.Flag("flows", "UDP flows.").Default(fmt.Sprint(options.Flows)).IntVar(&options.Flows)
	commands[command.FullCommand()] = func(ctx context.Context) error {
		return demo.Run(ctx, os.Stdout, options)
	}
}

func addMeasure(application *kingpin.Application, commands map[string]func(context.Context) error) {
	options := measure.DefaultOptions
	command := application.Command("measure", "Compare the path through burlmill with the direct path.")
	command.Flag("rounds", "Rounds; each measures both ways.").Default(fmt.Sprint(options.Rounds)).IntVar(&options.Rounds)
	command.Flag("bytes", "Bytes of one download.").Default(fmt.Sprint(options.DownloadBytes)).Int64Var(&options.DownloadBytes)
	commands[command.FullCommand()] = func(ctx context.Context) error {
		return measure.Run(ctx, os.Stdout, options)
	}
}

func addPlacement(application *kingpin.Application, commands map[string]func(context.Context) error) {
	command := application.Command("placement", "Simulate how requests find slots, beside simpler ways and Erlang B.")
	arrivals := command.Flag("arrivals", "Requests of each simulation.").Default("60000").Int()
	seed := command.Flag("seed", "Seed of the random numbers.").Default("1").Uint64()
	commands[command.FullCommand()] = func(context.Context) error {
		placementlab.WriteTable(os.Stdout, *arrivals, *seed)
		return nil
	}
}

func addStore(application *kingpin.Application, commands map[string]func(context.Context) error) {
	command := application.Command("store", "Run the stand-in of the platform's object API.")
	address := command.Flag("address", "TCP address of the API.").Required().String()
	labAddress := command.Flag("lab-address", "TCP address of the fault switches; empty: a free port.").String()
	commands[command.FullCommand()] = func(ctx context.Context) error {
		running, err := store.StartWithControl(*address, *labAddress)
		if err != nil {
			return err
		}
		defer running.Close()
		fmt.Printf("event=ready url=%s lab=%s\n", running.URL(), running.ControlURL())
		<-ctx.Done()
		return nil
	}
}

func addBackend(application *kingpin.Application, commands map[string]func(context.Context) error) {
	command := application.Command("backend", "Run the stand-in of one back end.")
	id := command.Flag("id", "Id of the back end.").Required().String()
	service := command.Flag("service", "Name of its service.").Required().String()
	address := command.Flag("address", "Address of HTTP and of UDP.").Required().String()
	slots := command.Flag("slots", "Requests run at once; 0: no limit.").Uint32()
	commands[command.FullCommand()] = func(ctx context.Context) error {
		parsed, err := netip.ParseAddrPort(*address)
		if err != nil {
			return fault.InvalidField("--address", *address, "must be an IP address and a port")
		}
		running, err := backend.Start(backend.Options{
			ID:      catalog.BackendID(*id),
			Service: catalog.ServiceName(*service),
			Address: parsed,
			Slots:   *slots,
		})
		if err != nil {
			return err
		}
		defer running.Close()
		fmt.Printf("event=ready id=%s address=%s\n", *id, running.Address())
		<-ctx.Done()
		return nil
	}
}
